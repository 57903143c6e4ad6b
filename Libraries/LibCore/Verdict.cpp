#include <LibCore/Verdict.h>
#include <algorithm>

namespace Core {

std::string_view toString(Verdict verdict)
{
    return nameOf(verdictNames, verdict);
}

Verdict combine(Verdict first, Verdict second)
{
    return std::max(first, second);
}

}
