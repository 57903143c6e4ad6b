#pragma once

#include <LibCore/Result.h>
#include <LibHttp/Client.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Settings {

/// One key of a settings file: how it is read into `Target` and printed from it.
template <typename Target>
struct Key {
    std::string section;
    std::string name;
    std::string allowed; ///< What a value may be, for errors and for the reference.
    std::string description; ///< One sentence.
    bool isRequired { false };
    std::function<Core::Result<void>(Target&, std::string_view)> read;
    std::function<std::string(Target const&)> print;
};

/// Reads a whole number from `low` to `high`. Errors: BadInput with what was read. Thread-safe.
Core::Result<std::uint64_t> readNumber(std::string_view text, std::uint64_t low, std::uint64_t high);

/// Reads a number with a fraction from `low` to `high`. Errors: BadInput. Thread-safe.
Core::Result<double> readFraction(std::string_view text, double low, double high);

/// Returns "a whole number from LOW to HIGH". Thread-safe.
std::string describeRange(std::uint64_t low, std::uint64_t high);

/// Prints a fraction in its shortest form that reads back the same. Thread-safe.
std::string printFraction(double);

/// Makes a key for a number-like member (integers, and durations counted in their own unit).
template <typename Target, typename Value, typename Owner>
Key<Target> numberKey(std::string section, std::string name, std::string description, std::uint64_t low, std::uint64_t high, Owner owner, Value std::remove_reference_t<std::invoke_result_t<Owner, Target&>>::* member)
{
    Key<Target> key { std::move(section), std::move(name), describeRange(low, high), std::move(description), false, {}, {} };
    key.read = [=](Target& target, std::string_view text) -> Core::Result<void> {
        BOOST_OUTCOME_TRY(std::uint64_t number, readNumber(text, low, high));
        owner(target).*member = Value(number);
        return Core::ok();
    };
    key.print = [=](Target const& target) {
        Value value = owner(const_cast<Target&>(target)).*member;
        if constexpr (requires { value.count(); })
            return std::to_string(value.count());
        else
            return std::to_string(value);
    };
    return key;
}

}
