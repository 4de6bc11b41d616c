// Public header of LibLedger: the typed entries of the log's streams, the
// state machine that groups appends, and the folds that derive state and
// decisions from a stream. All of it is pure: time and randomness are
// arguments.

#pragma once

#include "LibLedger/batch_job.h"
#include "LibLedger/cursor.h"
#include "LibLedger/delivery_reader.h"
#include "LibLedger/group_committer.h"
#include "LibLedger/job_fold.h"
#include "LibLedger/key_entries.h"
#include "LibLedger/key_fold.h"
#include "LibLedger/log_position.h"
#include "LibLedger/ownership.h"
#include "LibLedger/record_codec.h"
#include "LibLedger/retention.h"
#include "LibLedger/rollout_entries.h"
#include "LibLedger/rollout_fold.h"
#include "LibLedger/server_entries.h"
#include "LibLedger/service_loads.h"
#include "LibLedger/usage_counter.h"
#include "LibLedger/usage_ledger.h"
#include "LibLedger/usage_records.h"
