// Names of the priority classes as spelled in service documents and metrics.

#include "LibScheduling/work.h"

namespace carobbank {

std::string_view PriorityClassName(PriorityClass priority_class) {
  switch (priority_class) {
    case PriorityClass::kLive:
      return "live";
    case PriorityClass::kTraining:
      return "training";
    case PriorityClass::kBackground:
      return "background";
  }
  return "background";
}

}  // namespace carobbank
