#include <LibStreams/StreamOrigin.h>
#include <xxhash.h>

namespace Streams {

StreamKey streamKeyOf(std::string_view requestId)
{
    return XXH3_64bits(requestId.data(), requestId.size());
}

}
