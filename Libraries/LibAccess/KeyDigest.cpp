#include <LibAccess/KeyDigest.h>
#include <charconv>
#include <cstdlib>
#include <memory>
#include <openssl/evp.h>

namespace Access {

namespace {

constexpr int hexadecimal = 16;

// Fetched once: a look-up by name costs more than the digest of a key.
EVP_MD const* sha256Method()
{
    static EVP_MD const* const method = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    return method;
}

}

KeyDigest::Bytes sha256(std::string_view bytes)
{
    // Kept: a new one for each digest takes longer than the digest.
    thread_local std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX*)> const context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
    KeyDigest::Bytes digest {};
    unsigned int n = 0;
    bool isDone = context && EVP_DigestInit_ex2(context.get(), sha256Method(), nullptr) == 1 && EVP_DigestUpdate(context.get(), bytes.data(), bytes.size()) == 1 && EVP_DigestFinal_ex(context.get(), digest.data(), &n) == 1;
    if (!isDone || n != digest.size())
        std::abort(); // Without digests no key could be told from another.
    return digest;
}

KeyDigest KeyDigest::of(std::string_view key)
{
    KeyDigest digest;
    digest.m_bytes = sha256(key);
    return digest;
}

Core::Result<KeyDigest> KeyDigest::parse(std::string_view text)
{
    constexpr std::size_t digitsPerByte = 2;
    KeyDigest digest;
    bool isGood = text.size() == digitsPerByte * size;
    for (std::size_t n = 0; isGood && n < size; ++n) {
        char const* begin = text.data() + n * digitsPerByte;
        std::from_chars_result parsed = std::from_chars(begin, begin + digitsPerByte, digest.m_bytes[n], hexadecimal);
        isGood = parsed.ec == std::errc() && parsed.ptr == begin + digitsPerByte;
    }
    if (!isGood)
        return Core::fail(Core::ErrorCode::BadInput, "a key's digest: read " + std::to_string(text.size()) + " characters; allowed are 64 hexadecimal digits, the SHA-256 of the key");
    return digest;
}

std::string KeyDigest::toString() const
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (std::uint8_t byte : m_bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

}
