#pragma once

namespace sycamoreford {

/// Version of the library and its daemons.
inline constexpr const char* kVersion = "0.1.0";

}  // namespace sycamoreford
