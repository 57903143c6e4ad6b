#include "Bench.h"
#include <LibRequest/Home.h>
#include <LibRequest/RequestMachine.h>
#include <LibRequest/TicketIssuer.h>
#include <cstdio>
#include <random>

namespace Bench {

namespace {

using Request::Leg;

constexpr std::uint64_t requests = 100'000;
constexpr std::uint64_t pieces = 32;
constexpr std::uint64_t eventsEach = 5 + pieces;

Request::RequestProfile profile()
{
    Request::RequestProfile result;
    result.isRepeatable = true;
    result.canResume = true;
    result.canCancel = true;
    result.deadline = Request::TimePoint(std::chrono::hours(1));
    return result;
}

/// A whole streamed answer of `pieces` events of 120 bytes.
std::uint64_t runOne(Request::RetryBudget& budget, Request::TimePoint now)
{
    Request::RequestMachine machine(profile(), budget);
    std::uint64_t actions = machine.handle(Request::Admitted {}, now).size();
    actions += machine.handle(Request::TargetPicked { 1, "tanta-engine-1" }, now).size();
    actions += machine.handle(Request::Connected { Leg { 1, 1 } }, now).size();
    actions += machine.handle(Request::ResponseHead { Leg { 1, 1 }, 200 }, now).size();
    for (std::uint64_t i = 0; i < pieces; ++i)
        actions += machine.handle(Request::Piece { Leg { 1, 1 }, i, std::string(120, 'x'), true }, now).size();
    actions += machine.handle(Request::StreamEnded { Leg { 1, 1 }, pieces }, now).size();
    return actions;
}

Request::Ticket ticketOf(std::mt19937_64& random, Request::TimePoint now)
{
    Request::Ticket ticket { "tanta-1", 1, now, {} };
    for (std::uint8_t& byte : ticket.nonce)
        byte = static_cast<std::uint8_t>(random());
    return ticket;
}

void runMachine()
{
    Request::RetryBudget budget { {} };
    Request::TimePoint now(std::chrono::seconds(1));
    std::uint64_t actions = 0;
    double ns = nanosecondsEach(requests * eventsEach, [&] {
        for (std::uint64_t i = 0; i < requests; ++i)
            actions += runOne(budget, now);
    });
    std::printf("machine ns_per_event=%.0f events_per_s=%.0f requests_per_s_of_%llu_events=%.0f (actions %llu)\n", ns, 1e9 / ns,
        static_cast<unsigned long long>(eventsEach), 1e9 / ns / static_cast<double>(eventsEach), static_cast<unsigned long long>(actions));
    std::uint64_t before = heapBytes();
    std::vector<std::unique_ptr<Request::RequestMachine>> open;
    open.reserve(requests);
    for (std::uint64_t i = 0; i < requests; ++i) {
        open.push_back(std::make_unique<Request::RequestMachine>(profile(), budget));
        open.back()->handle(Request::Admitted {}, now);
        open.back()->handle(Request::TargetPicked { 1, "tanta-hall-engine-12" }, now);
        open.back()->handle(Request::Connected { Leg { 1, 1 } }, now);
    }
    std::printf("machine bytes_per_open_request=%.0f\n", static_cast<double>(heapBytes() - before) / requests);
}

void runTickets()
{
    std::mt19937_64 random(1);
    Request::TimePoint now(std::chrono::seconds(1));
    Request::OnceTable table = Request::OnceTable::create({ .maxTicketsPerOrganisation = requests }).value();
    std::vector<Request::Ticket> tickets;
    for (std::uint64_t i = 0; i < requests; ++i)
        tickets.push_back(ticketOf(random, now + std::chrono::milliseconds(i)));
    std::uint64_t before = heapBytes();
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    for (Request::Ticket const& ticket : tickets) {
        (void)table.begin(ticket, Request::Fingerprint { 1, 2 }, "organisation", now);
        table.finish(ticket.nonce, Core::Verdict::Ran, now);
    }
    double ns = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count() / requests;
    std::printf("tickets begin_and_finish_ns=%.0f bytes_per_remembered_ticket=%.0f\n", ns, static_cast<double>(heapBytes() - before) / requests);
    Request::TicketIssuer issuer = Request::TicketIssuer::create({ "tanta-1", 1, std::vector<std::uint8_t>(32, 1),
                                                                     [&random](std::span<std::uint8_t> bytes) {
                                                                         for (std::uint8_t& byte : bytes)
                                                                             byte = static_cast<std::uint8_t>(random());
                                                                     } })
                                       .value();
    double each = nanosecondsEach(requests, [&] {
        for (std::uint64_t i = 0; i < requests; ++i)
            (void)issuer.verify(issuer.issue(now));
    });
    std::printf("tickets issue_and_verify_ns=%.0f\n", each);
}

void runAnswers()
{
    constexpr std::uint64_t answers = 5'000;
    std::mt19937_64 random(1);
    Request::TimePoint now(std::chrono::seconds(1));
    Request::AnswerStore::Limits limits;
    limits.maxBytes = 1U << 30U;
    Request::AnswerStore store = Request::AnswerStore::create(limits).value();
    std::string piece(120, 'x');
    std::uint64_t before = heapBytes();
    std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 0; i < answers; ++i) {
        Request::TicketNonce nonce = ticketOf(random, now).nonce;
        store.open(nonce, "organisation-" + std::to_string(i % 100));
        for (std::uint64_t j = 0; j < pieces; ++j)
            store.append(nonce, j, piece);
        store.finish(nonce, Request::AnswerEnd { Core::Verdict::Ran, std::nullopt }, now);
    }
    double ns = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count() / static_cast<double>(answers * pieces);
    double bytes = static_cast<double>(heapBytes() - before) / answers;
    std::printf("answers append_ns=%.0f heap_bytes_per_answer_of_3840=%.0f accounted=%.0f\n", ns, bytes, static_cast<double>(store.bytes()) / answers);
}

}

void runRequests()
{
    runMachine();
    runTickets();
    runAnswers();
}

}
