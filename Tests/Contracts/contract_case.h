// A table of contract cases, run against each implementation of an interface.

#pragma once

#include <functional>
#include <memory>
#include <span>

namespace carobbank {

// `Subject` wraps one implementation and injects its faults.
template <typename Subject>
struct ContractCase {
  const char* name;
  void (*run)(Subject& subject);
};

// Runs every case on a fresh subject.
template <typename Subject>
void RunContract(std::span<const ContractCase<Subject>> cases,
                 const std::function<std::unique_ptr<Subject>()>& create) {
  for (const ContractCase<Subject>& contract_case : cases) {
    const auto subject = create();
    contract_case.run(*subject);
  }
}

}  // namespace carobbank
