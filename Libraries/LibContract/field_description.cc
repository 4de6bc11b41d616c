// The Markdown table row of a field.

#include "LibContract/field_description.h"

namespace carobbank {

std::string FieldDescription::TableRow() const {
  return "| `" + this->key + "` | " + this->unit + " | " + this->range + " | " +
         this->default_text + " | " + this->meaning + " |";
}

}  // namespace carobbank
