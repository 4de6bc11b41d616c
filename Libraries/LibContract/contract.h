// Public header of LibContract: service documents, settings, their validation,
// and the fold that determines which documents are in force.

#pragma once

#include "LibContract/configuration_fold.h"
#include "LibContract/configuration_record.h"
#include "LibContract/field_description.h"
#include "LibContract/service_document.h"
#include "LibContract/settings.h"
#include "LibContract/settings_file.h"
#include "LibContract/text_rules.h"
#include "LibContract/validation.h"
