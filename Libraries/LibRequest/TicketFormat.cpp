#include "TicketFormat.h"

namespace Request {

namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

}

std::uint64_t TicketFormat::readNumber(std::span<std::uint8_t const> bytes, std::size_t at)
{
    std::uint64_t number = 0;
    for (std::uint8_t byte : bytes.subspan(at, 8))
        number = (number << 8U) | byte;
    return number;
}

void TicketFormat::appendNumber(std::vector<std::uint8_t>& bytes, std::uint64_t number)
{
    for (int shift = 56; shift >= 0; shift -= 8)
        bytes.push_back(static_cast<std::uint8_t>(number >> static_cast<unsigned>(shift)));
}

std::string encodeBase64Url(std::span<std::uint8_t const> bytes)
{
    std::string text;
    text.reserve((bytes.size() * 4 + 2) / 3);
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (std::uint8_t byte : bytes) {
        bits = (bits << 8U) | byte;
        count += 8;
        while (count >= 6) {
            count -= 6;
            text += alphabet[(bits >> count) & 0x3FU];
        }
    }
    if (count > 0)
        text += alphabet[(bits << (6 - count)) & 0x3FU];
    return text;
}

Core::Result<std::vector<std::uint8_t>> decodeBase64Url(std::string_view text)
{
    std::vector<std::uint8_t> bytes;
    bytes.reserve(text.size() * 3 / 4);
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (char c : text) {
        std::size_t value = alphabet.find(c);
        if (value == std::string_view::npos)
            return Core::fail(Core::ErrorCode::BadInput, "A ticket may contain only letters, digits, '-' and '_'.");
        bits = (bits << 6U) | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes.push_back(static_cast<std::uint8_t>(bits >> count));
        }
    }
    if (count >= 6 || (bits & ((1U << count) - 1)) != 0)
        return Core::fail(Core::ErrorCode::BadInput, "The last character of the ticket is invalid.");
    return bytes;
}

}
