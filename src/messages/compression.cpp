#include "messages/compression.h"

#include <memory>
#include <zstd.h>

namespace peridotfall::messages {

namespace {

/// Higher levels cost more CPU time and memory on a small VM than they save on
/// its link.
constexpr int CompressionLevel = 1;
/// 2 MiB: a base and a text of one megabyte each must fit in the window.
constexpr int WindowLog = 21;

struct ContextDeleter {
  void operator()(ZSTD_CCtx *it) const { ZSTD_freeCCtx(it); }
  void operator()(ZSTD_DCtx *it) const { ZSTD_freeDCtx(it); }
};

Error invalid(const char *why) {
  return {ErrorCode::Invalid, std::string("compressed text: ") + why};
}

} // namespace

Result<std::string> compress(std::string_view text, std::string_view base) {
  std::unique_ptr<ZSTD_CCtx, ContextDeleter> context(ZSTD_createCCtx());
  auto *it = context.get();
  ZSTD_CCtx_setParameter(it, ZSTD_c_compressionLevel, CompressionLevel);
  ZSTD_CCtx_setParameter(it, ZSTD_c_windowLog, WindowLog);
  ZSTD_CCtx_setParameter(it, ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_refPrefix(it, base.data(), base.size());
  std::string out(ZSTD_compressBound(text.size()), '\0');
  auto n = ZSTD_compress2(it, out.data(), out.size(), text.data(), text.size());
  if (ZSTD_isError(n) != 0)
    return invalid(ZSTD_getErrorName(n));
  out.resize(n);
  out.shrink_to_fit();
  return out;
}

Result<std::string> decompress(std::string_view frame, std::string_view base,
                               std::size_t maxBytes) {
  auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
    return invalid("not a frame, or without a content size");
  if (size > maxBytes)
    return invalid("too large");
  std::unique_ptr<ZSTD_DCtx, ContextDeleter> context(ZSTD_createDCtx());
  auto *it = context.get();
  ZSTD_DCtx_refPrefix(it, base.data(), base.size());
  std::string out(size, '\0');
  auto n = ZSTD_decompressDCtx(it, out.data(), out.size(), frame.data(),
                               frame.size());
  if (ZSTD_isError(n) != 0)
    return invalid(ZSTD_getErrorName(n));
  if (n != out.size())
    return invalid("content is shorter than declared");
  return out;
}

} // namespace peridotfall::messages
