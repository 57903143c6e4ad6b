#include <LibStandIn/FaultsReader.h>

#include <LibJson/Reader.h>
#include <array>
#include <openssl/evp.h>

namespace StandIn {

namespace {

struct NumberFault {
    std::string_view key;
    std::uint64_t Faults::* member;
};

struct BoolFault {
    std::string_view key;
    bool Faults::* member;
};

constexpr std::array<NumberFault, 6> numberFaults { {
    { "lose_replies", &Faults::loseReplies },
    { "delay_ms", &Faults::delayMs },
    { "cut_after_events", &Faults::cutAfterEvents },
    { "turn_away_ms", &Faults::turnAwayMs },
    { "work_ms", &Faults::workMs },
    { "limit_per_1000_s", &Faults::limitPer1000Seconds },
} };

constexpr std::array<BoolFault, 5> boolFaults { {
    { "down", &Faults::isDown },
    { "crash_during_change", &Faults::crashesDuringChange },
    { "stall", &Faults::stalls },
    { "refuse", &Faults::refuses },
    { "say_leaving", &Faults::saysLeaving },
} };

}

Core::Result<void> applyFaults(std::string_view text, Faults& faults)
{
    BOOST_OUTCOME_TRY(boost::json::object object, Json::parseObject(text));
    return applyFaults(std::move(object), faults);
}

Core::Result<void> applyFaults(boost::json::object object, Faults& faults)
{
    Faults changed = faults;
    for (NumberFault const& it : numberFaults) {
        BOOST_OUTCOME_TRY(std::optional<std::uint64_t> n, Json::optionalNumber(object, it.key));
        changed.*it.member = n.value_or(changed.*it.member);
        object.erase(it.key);
    }
    for (BoolFault const& it : boolFaults) {
        BOOST_OUTCOME_TRY(std::optional<bool> isSet, Json::optionalBool(object, it.key));
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
