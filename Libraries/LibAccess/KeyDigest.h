#pragma once

#include <LibCore/Result.h>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace Access {

/// A SHA-256 digest (FIPS 180-4), which stands for a key wherever the key itself must not go.
class KeyDigest {
public:
    static constexpr std::size_t size = 32;
    using Bytes = std::array<std::uint8_t, size>;

    /// Returns the digest of a key. Thread-safe.
    static KeyDigest of(std::string_view key);

    /// Reads 64 hexadecimal digits. Errors: BadInput with what is allowed, and without what was read: it may be a key.
    /// Thread-safe.
    static Core::Result<KeyDigest> parse(std::string_view text);

    /// Returns the form that `parse` reads.
    std::string toString() const;

    Bytes const& bytes() const { return m_bytes; }

    bool operator==(KeyDigest const&) const = default;
    auto operator<=>(KeyDigest const&) const = default;

private:
    Bytes m_bytes {};
};

/// Returns the SHA-256 digest of any bytes. Thread-safe.
KeyDigest::Bytes sha256(std::string_view bytes);

}
