// Public header of the stand-ins, for tests and benchmarks that run them in
// process.

#pragma once

#include "StandIns/stand_in.h"
#include "StandIns/stand_in_factory.h"
#include "StandIns/stand_in_set.h"
#include "StandIns/token_model.h"
