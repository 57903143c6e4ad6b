#pragma once

#include <stdexcept>
#include <sys/resource.h>

namespace Processes {

/// Lowers what processes that are started from now on may open, until this object ends. Not thread-safe.
class DescriptorLimit {
public:
    /// Throws std::runtime_error when the limit cannot be set.
    explicit DescriptorLimit(rlim_t limit)
    {
        bool isRead = ::getrlimit(RLIMIT_NOFILE, &m_former) == 0;
        rlimit lowered { limit, m_former.rlim_max };
        if (!isRead || ::setrlimit(RLIMIT_NOFILE, &lowered) != 0)
            throw std::runtime_error("the limit of descriptors cannot be set");
    }

    ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &m_former); }
    DescriptorLimit(DescriptorLimit const&) = delete;
    DescriptorLimit& operator=(DescriptorLimit const&) = delete;

private:
    rlimit m_former {};
};

}
