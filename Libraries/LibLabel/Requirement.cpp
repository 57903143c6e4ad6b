#include <LibLabel/Requirement.h>
#include <algorithm>

namespace Label {

namespace {

std::string listOf(std::vector<std::string> const& values)
{
    std::string list;
    for (std::size_t n = 0; n < values.size(); ++n)
        list.append(n == 0 ? "" : ",").append(values[n]);
    return list;
}

}

bool Requirement::matches(LabelSet const& labels) const
{
    std::optional<std::string_view> value = labels.get(key);
    bool isListed = value && std::binary_search(values.begin(), values.end(), *value);
    switch (op) {
    case Operator::In:
        return isListed;
    case Operator::NotIn:
        return !isListed;
    case Operator::Exists:
        return value.has_value();
    case Operator::DoesNotExist:
        return !value.has_value();
    }
    return false;
}

std::string Requirement::toString() const
{
    switch (op) {
    case Operator::In:
        return values.size() == 1 ? key + "=" + values.front() : key + " in (" + listOf(values) + ")";
    case Operator::NotIn:
        return values.size() == 1 ? key + "!=" + values.front() : key + " notin (" + listOf(values) + ")";
    case Operator::Exists:
        return key;
    case Operator::DoesNotExist:
        return "!" + key;
    }
    return key;
}

}
