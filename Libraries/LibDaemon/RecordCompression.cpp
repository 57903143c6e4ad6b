#include <LibDaemon/RecordCompression.h>
#include <algorithm>
#include <bit>
#include <memory>
#include <zstd.h>

namespace Daemon {

namespace {

constexpr int level = 3;
constexpr int minWindowLog = 10; // ZSTD_WINDOWLOG_MIN
constexpr int maxWindowLog = 27; // The largest that decompression accepts by default.

struct Deleter {
    void operator()(ZSTD_CCtx* it) const { ZSTD_freeCCtx(it); }
    void operator()(ZSTD_DCtx* it) const { ZSTD_freeDCtx(it); }
};

Core::Error errorOf(Core::ErrorCode code, std::size_t result)
{
    return Core::makeError(code, std::string("records cannot be compressed or restored: ") + ZSTD_getErrorName(result));
}

}

Core::Result<std::string> compress(std::string_view bytes, std::string_view base)
{
    std::unique_ptr<ZSTD_CCtx, Deleter> context(ZSTD_createCCtx());
    if (!context)
        return Core::fail(Core::ErrorCode::Internal, "records cannot be compressed: out of memory");
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1); // Another base would restore other bytes.
    if (!base.empty()) {
        // The window must reach from the end of the bytes back to the start of the base.
        int windowLog = std::bit_width(bytes.size() + base.size());
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, std::clamp(windowLog, minWindowLog, maxWindowLog));
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string compressed(ZSTD_compressBound(bytes.size()), '\0');
    std::size_t n = ZSTD_compress2(context.get(), compressed.data(), compressed.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(n) != 0)
        return boost::outcome_v2::failure(errorOf(Core::ErrorCode::Internal, n));
    compressed.resize(n);
    return compressed;
}

Core::Result<std::string> decompress(std::string_view bytes, std::string_view base, std::size_t maxBytes)
{
    unsigned long long size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxBytes)
        return Core::fail(Core::ErrorCode::Corrupt, "compressed records of a peer have no valid size, or one above " + std::to_string(maxBytes) + " bytes");
    std::unique_ptr<ZSTD_DCtx, Deleter> context(ZSTD_createDCtx());
    if (!context)
        return Core::fail(Core::ErrorCode::Internal, "records cannot be restored: out of memory");
    if (!base.empty())
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string restored(size, '\0');
    std::size_t n = ZSTD_decompressDCtx(context.get(), restored.data(), restored.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(n) != 0)
        return boost::outcome_v2::failure(errorOf(Core::ErrorCode::Corrupt, n));
    restored.resize(n);
    return restored;
}

}
