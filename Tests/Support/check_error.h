// Checks of typed errors. Include this header last: CppUTest redefines `new`.

#pragma once

#include <string>

#include "LibCore/core.h"

#include <CppUTest/TestHarness.h>

namespace carobbank {

// Fails the running test unless `outcome` is an error of kind `expected`.
template <typename Value>
void CheckError(ErrorKind expected, const Outcome<Value>& outcome) {
  CHECK_FALSE(outcome.Ok());
  STRCMP_EQUAL(std::string(ErrorKindName(expected)).c_str(),
               std::string(ErrorKindName(outcome.GetError().kind)).c_str());
}

}  // namespace carobbank
