#pragma once

#include <LibCore/Result.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace Daemon {

/// Compresses with Zstandard (RFC 8878). What also occurs in `base` costs next to nothing; empty: there is none. Thread-safe.
/// Errors: Internal if the library fails.
Core::Result<std::string> compress(std::string_view bytes, std::string_view base);

/// Restores what `compress` was given, with the same base. Thread-safe.
/// Errors: Corrupt if the bytes are not what `compress` returned for this base, or restore to more than `maxBytes`.
Core::Result<std::string> decompress(std::string_view bytes, std::string_view base, std::size_t maxBytes);

}
