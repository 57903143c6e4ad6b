#include <LibAuthority/EngineState.h>

namespace Authority {

namespace {

template <typename T>
bool agrees(std::optional<T> const& wanted, T const& actual)
{
    return !wanted || *wanted == actual;
}

}

bool isMet(EngineWish const& wish, EngineState const& state)
{
    return agrees(wish.role, state.role) && !needsLoad(wish, state);
}

bool needsLoad(EngineWish const& wish, EngineState const& state)
{
    return !agrees(wish.model, state.model) || !agrees(wish.adapter, state.adapter) || !agrees(wish.version, state.version);
}

bool haveSameSettings(EngineState const& a, EngineState const& b)
{
    return a.role == b.role && a.model == b.model && a.adapter == b.adapter && a.version == b.version;
}

}
