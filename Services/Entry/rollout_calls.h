// A trainer's requests: submit a step, poll its samples, announce weights.

#pragma once

#include <memory>
#include <string_view>

#include "call_environment.h"

namespace carobbank {

// POST /v1/rollouts
void SubmitStep(CallEnvironment& environment,
                const HttpRequest& request,
                std::shared_ptr<HttpResponder> responder);

// GET /v1/rollouts/{service}/samples?cursor=&wait_ms=
void PollSamples(CallEnvironment& environment,
                 const HttpRequest& request,
                 std::string_view service,
                 std::shared_ptr<HttpResponder> responder);

// POST /v1/models/{model}/versions
void AnnounceVersion(CallEnvironment& environment,
                     const HttpRequest& request,
                     std::string_view model,
                     std::shared_ptr<HttpResponder> responder);

}  // namespace carobbank
