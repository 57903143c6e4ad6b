#pragma once

#include <LibStandIn/Api.h>
#include <LibStandIn/WeightStore.h>

namespace StandIn {

/// The stand-in weight store (docs/design/platform-protocols.md, "Weight store").
class WeightStoreApi final : public Api {
public:
    /// Precondition: `loadsPerMinute` is at least 1.
    static std::shared_ptr<WeightStoreApi> create(std::uint64_t loadsPerMinute);

    boost::asio::awaitable<void> serve(Http::Request&, Http::ResponseWriter&) override;

    WeightStore const& store() const { return m_store; }

private:
    explicit WeightStoreApi(std::uint64_t loadsPerMinute);
    Http::Response respond(Http::Request const&);
    Http::Response respondToLoad();

    WeightStore m_store;
    Faults m_faults;
};

}
