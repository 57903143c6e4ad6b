#include "TicketFormat.h"
#include <LibRequest/TicketIssuer.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <utility>

namespace Request {

namespace {

constexpr std::size_t minimumSecretSize = 32;

using Signature = std::array<std::uint8_t, TicketFormat::signatureSize>;

Signature sign(std::span<std::uint8_t const> secret, std::span<std::uint8_t const> bytes)
{
    Signature signature {};
    unsigned size = signature.size();
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes.data(), bytes.size(), signature.data(), &size);
    return signature;
}

}

Core::Result<TicketIssuer> TicketIssuer::create(Settings settings)
{
    if (settings.home.empty() || settings.home.size() > TicketFormat::maximumNameSize)
        return Core::fail(Core::ErrorCode::BadInput, "The daemon name must be 1 to 255 bytes long.");
    if (settings.secret.size() < minimumSecretSize)
        return Core::fail(Core::ErrorCode::BadInput, "The ticket secret must be at least 32 bytes long.");
    if (!settings.fillRandom)
        return Core::fail(Core::ErrorCode::BadInput, "Issuing tickets requires a source of random bytes.");
    return TicketIssuer(std::move(settings));
}

TicketIssuer::TicketIssuer(Settings settings)
    : m_settings(std::move(settings))
{
}

std::string TicketIssuer::issue(TimePoint now) const
{
    TicketNonce nonce {};
    m_settings.fillRandom(nonce);
    std::chrono::nanoseconds issued = std::chrono::duration_cast<std::chrono::nanoseconds>(now.time_since_epoch());
    std::vector<std::uint8_t> bytes;
    bytes.reserve(TicketFormat::minimumSize + m_settings.home.size());
    bytes.push_back(TicketFormat::version);
    TicketFormat::appendNumber(bytes, m_settings.incarnation);
    TicketFormat::appendNumber(bytes, static_cast<std::uint64_t>(issued.count()));
    bytes.insert(bytes.end(), nonce.begin(), nonce.end());
    bytes.push_back(static_cast<std::uint8_t>(m_settings.home.size()));
    bytes.insert(bytes.end(), m_settings.home.begin(), m_settings.home.end());
    Signature signature = sign(m_settings.secret, bytes);
    bytes.insert(bytes.end(), signature.begin(), signature.end());
    return encodeBase64Url(bytes);
}

Core::Result<Ticket> TicketIssuer::verify(std::string_view text) const
{
    BOOST_OUTCOME_TRY(Ticket ticket, Ticket::parse(text));
    if (ticket.home != m_settings.home || ticket.incarnation != m_settings.incarnation) {
        return boost::outcome_v2::failure(Core::makeUncertainError(Core::ErrorCode::Unavailable,
            "The daemon that could say whether this request ran is gone or is another one: " + ticket.home + "/" + formatIncarnation(ticket.incarnation) + "."));
    }
    BOOST_OUTCOME_TRY(std::vector<std::uint8_t> bytes, decodeBase64Url(text));
    std::span<std::uint8_t const> all(bytes);
    std::span<std::uint8_t const> signedPart = all.first(bytes.size() - TicketFormat::signatureSize);
    Signature signature = sign(m_settings.secret, signedPart);
    if (CRYPTO_memcmp(signature.data(), all.last(signature.size()).data(), signature.size()) != 0)
        return Core::fail(Core::ErrorCode::Unauthorized, "This daemon did not issue the ticket.");
    return ticket;
}

}
