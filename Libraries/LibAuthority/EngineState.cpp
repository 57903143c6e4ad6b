#include <LibAuthority/EngineState.h>

namespace Authority {

namespace {

template <typename T>
bool matches(std::optional<T> const& desired, T const& actual)
{
    return !desired || *desired == actual;
}

}

bool isSatisfied(DesiredEngineState const& desired, EngineState const& state)
{
    return matches(desired.role, state.role) && !needsLoad(desired, state);
}

bool needsLoad(DesiredEngineState const& desired, EngineState const& state)
{
    return !matches(desired.model, state.model) || !matches(desired.adapter, state.adapter) || !matches(desired.version, state.version);
}

bool haveSameSettings(EngineState const& a, EngineState const& b)
{
    return a.role == b.role && a.model == b.model && a.adapter == b.adapter && a.version == b.version;
}

}
