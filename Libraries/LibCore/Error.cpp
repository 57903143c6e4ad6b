#include <LibCore/Error.h>
#include <utility>

namespace Core {

std::string_view toString(ErrorCode code)
{
    return nameOf(errorCodeNames, code);
}

Error makeError(ErrorCode code, std::string message)
{
    return Error { code, std::move(message), Verdict::NotRun };
}

Error makeUncertainError(ErrorCode code, std::string message)
{
    return Error { code, std::move(message), Verdict::MayHaveRun };
}

}
