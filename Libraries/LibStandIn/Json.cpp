#include <LibStandIn/Json.h>

#include <array>
#include <boost/json/parse.hpp>
#include <openssl/evp.h>

namespace StandIn {

namespace {

Core::Error wrongType(std::string_view key, std::string_view expected)
{
    return Core::makeError(Core::ErrorCode::BadInput, "'" + std::string(key) + "' must be " + std::string(expected) + ".");
}

struct NumberFault {
    std::string_view key;
    std::uint64_t Faults::* member;
};

struct BoolFault {
    std::string_view key;
    bool Faults::* member;
};

constexpr std::array<NumberFault, 3> numberFaults { {
    { "lose_replies", &Faults::loseReplies },
    { "delay_ms", &Faults::delayMs },
    { "cut_after_events", &Faults::cutAfterEvents },
} };

constexpr std::array<BoolFault, 4> boolFaults { {
    { "down", &Faults::isDown },
    { "crash_during_change", &Faults::crashesDuringChange },
    { "stall", &Faults::stalls },
    { "refuse", &Faults::refuses },
} };

}

Core::Result<boost::json::object> parseObject(std::string_view text)
{
    boost::system::error_code ec;
    boost::json::value value = boost::json::parse(text, ec);
    if (ec || !value.is_object())
        return Core::fail(Core::ErrorCode::BadInput, "The body must be a JSON object.");
    return std::move(value.get_object());
}

Core::Result<std::optional<std::string>> optionalString(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* it = object.if_contains(key);
    if (!it)
        return std::optional<std::string>();
    if (!it->is_string())
        return wrongType(key, "a string");
    return std::optional<std::string>(std::string(it->get_string()));
}

Core::Result<std::optional<std::uint64_t>> optionalNumber(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* it = object.if_contains(key);
    if (!it)
        return std::optional<std::uint64_t>();
    boost::system::error_code ec;
    std::uint64_t n = it->to_number<std::uint64_t>(ec);
    if (ec)
        return wrongType(key, "a whole number from 0 up");
    return std::optional<std::uint64_t>(n);
}

Core::Result<std::optional<bool>> optionalBool(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* it = object.if_contains(key);
    if (!it)
        return std::optional<bool>();
    if (!it->is_bool())
        return wrongType(key, "true or false");
    return std::optional<bool>(it->get_bool());
}

Core::Result<void> applyFaults(std::string_view text, Faults& faults)
{
    BOOST_OUTCOME_TRY(boost::json::object object, parseObject(text));
    return applyFaults(std::move(object), faults);
}

Core::Result<void> applyFaults(boost::json::object object, Faults& faults)
{
    Faults changed = faults;
    for (NumberFault const& it : numberFaults) {
        BOOST_OUTCOME_TRY(std::optional<std::uint64_t> n, optionalNumber(object, it.key));
        changed.*it.member = n.value_or(changed.*it.member);
        object.erase(it.key);
    }
    for (BoolFault const& it : boolFaults) {
        BOOST_OUTCOME_TRY(std::optional<bool> isSet, optionalBool(object, it.key));
        changed.*it.member = isSet.value_or(changed.*it.member);
        object.erase(it.key);
    }
    if (!object.empty())
        return Core::fail(Core::ErrorCode::BadInput, "There is no fault '" + std::string(object.begin()->key()) + "'.");
    faults = changed;
    return Core::ok();
}

std::string toBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<unsigned char const*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

}
