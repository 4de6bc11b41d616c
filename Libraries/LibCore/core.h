// Public header of LibCore, which every other library builds on: errors,
// clocks, seeded random numbers, hashing, Base64, JSON and the hybrid logical
// clock.

#pragma once

#include "LibCore/base64.h"
#include "LibCore/clock.h"
#include "LibCore/error.h"
#include "LibCore/hash.h"
#include "LibCore/hybrid_logical_clock.h"
#include "LibCore/json.h"
#include "LibCore/keyed_record.h"
#include "LibCore/random.h"
#include "LibCore/text_number.h"
