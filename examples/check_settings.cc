// Validates a settings text and prints each error with its path in the file.
#include <iostream>

#include "sycamoreford/settings/settings.h"

int main() {
  const auto parsed = sycamoreford::ParseSettings(R"({
    // Comments are fine.
    "name": "entry-1",
    "data_center": "oyo",
    "regoin": "sw-ng",
    "listen": {"callers": "localhost:8080", "operators": "10.0.1.5:7070",
               "peers": "10.0.1.5:7071"},
    "table": {"address": "10.0.0.2:9000"},
    "limits": {"workers": 0},
    "operators": []
  })");
  for (const auto& error : parsed.errors) {
    std::cout << error.path << ": expected " << error.expected << '\n';
  }
  return parsed.is_valid() ? 1 : 0;
}
