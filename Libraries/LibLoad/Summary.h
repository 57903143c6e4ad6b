#pragma once

#include <LibCore/EnumNames.h>
#include <LibLoad/AnswerCheck.h>
#include <array>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Load {

/// What one request gave.
struct Sample {
    Ending ending { Ending::NoAnswer };
    std::chrono::steady_clock::time_point firstTokenAt {};
    std::chrono::steady_clock::time_point lastTokenAt {};
    std::chrono::nanoseconds firstToken { 0 }; ///< From the send to the first token, or to the whole body.
    std::chrono::nanoseconds total { 0 };
    std::uint64_t tokens { 0 };
    std::vector<std::chrono::nanoseconds> gaps {}; ///< Between pieces of the answer that brought tokens.
};

/// Gathers samples and works out their figures. Not thread-safe.
class Summary {
public:
    /// Answers that are whole within `deadline` count as goodput.
    explicit Summary(std::chrono::milliseconds deadline);

    void add(Sample const&);
    /// Counts a request that was due but not sent, since too many were open.
    void addUnsent() { ++m_unsent; }

    std::uint64_t sent() const;
    std::uint64_t count(Ending) const;
    std::uint64_t inTime() const { return m_inTime; }
    /// Returns whether an answer was cut or wrong, which must never happen.
    bool hasBadAnswers() const { return count(Ending::Cut) + count(Ending::Wrong) > 0; }

    /// Returns the value that `share` (0 to 1) of the samples don't exceed, in milliseconds; 0 without samples.
    double firstTokenMs(double share) const { return percentile(m_firstToken, share); }
    double gapMs(double share) const { return percentile(m_gaps, share); }
    double totalMs(double share) const { return percentile(m_total, share); }

    /// Returns all figures, the rates over `time`.
    boost::json::object toJson(std::chrono::nanoseconds time) const;
    std::string toText(std::chrono::nanoseconds time) const;

private:
    static double percentile(std::vector<float> values, double share);

    std::chrono::milliseconds m_deadline;
    std::array<std::uint64_t, endingNames.size()> m_counts {};
    std::uint64_t m_inTime { 0 };
    std::uint64_t m_tokens { 0 };
    std::uint64_t m_unsent { 0 };
    std::vector<float> m_firstToken; ///< Milliseconds; of whole answers, as the others.
    std::vector<float> m_gaps;
    std::vector<float> m_total;
};

}
