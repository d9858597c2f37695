#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sycamoreford {

/// Header fields of an HTTP message, in order.
class HttpFields {
 public:
  /// Adds a field.
  void Add(std::string name, std::string value) {
    fields_.emplace_back(std::move(name), std::move(value));
  }
  /// Value of the first field with that name (case-insensitive); empty if there
  /// is none.
  [[nodiscard]] std::string_view Get(std::string_view name) const noexcept;
  [[nodiscard]] auto begin() const noexcept { return fields_.begin(); }
  [[nodiscard]] auto end() const noexcept { return fields_.end(); }

 private:
  std::vector<std::pair<std::string, std::string>> fields_;
};

/// A complete HTTP request.
struct HttpRequest {
  std::string method = "GET";
  /// Path and query.
  std::string target = "/";
  HttpFields fields{};
  std::string body{};
};

/// A complete HTTP response.
struct HttpResponse {
  unsigned status = 200;
  /// Value of `Content-Type`. Must be empty in a response to be sent whose
  /// `fields` contain it, as it would be sent twice.
  std::string content_type = "application/json";
  HttpFields fields{};
  std::string body{};
};

}  // namespace sycamoreford
