// Batch jobs for tests.

#pragma once

#include <string>

#include "LibLedger/ledger.h"

namespace carobbank {

// A job of one group with samples "<id>-0", "<id>-1", ... without reward calls.
inline BatchJob MakeJob(const std::string& id, std::size_t samples) {
  BatchJob job;
  job.id = id;
  job.host = "trainer.example";
  job.path = "/train/";
  job.abandon_after = Milliseconds(60'000);
  job.due = Milliseconds(10'000);
  for (std::size_t index = 0; index < samples; ++index) {
    JobSample sample;
    sample.id = id + "-" + std::to_string(index);
    sample.path = "/train/" + sample.id;
    sample.headers = {{"X-Prompt", "p"}};
    sample.body_base64 = EncodeBase64("body of " + sample.id);
    sample.group = "g1";
    job.samples.push_back(sample);
  }
  return job;
}

inline JobResult MakeResult(const std::string& sample_id,
                            const std::string& output) {
  JobResult result;
  result.sample_id = sample_id;
  result.completed = true;
  result.output = output;
  result.versions = {3, 4};
  result.score = "signed";
  return result;
}

}  // namespace carobbank
