#include "turmericplank/routing/prefixchain.hpp"

#include <array>
#include <charconv>
#include <cstdio>

#include "turmericplank/base/digest.hpp"

namespace turmericplank::routing {

namespace {

constexpr std::size_t BlockBytes = 256;
constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t NameDigits = 16;
constexpr std::size_t MaxBlocks = 256; ///< per prompt; prompts that differ only after these blocks are treated as equal

} // namespace

PrefixChain prefixChain(const base::ModelName &model, std::string_view prompt)
{
    PrefixChain chain;
    auto fingerprint = base::fingerprint(model.text());
    for (std::size_t n = BlockBytes; n <= prompt.size() && chain.size() < MaxBlocks; n += BlockBytes) {
        fingerprint = base::fingerprint(prompt.substr(n - BlockBytes, BlockBytes), fingerprint);
        chain.push_back({fingerprint, static_cast<std::uint32_t>(n / BytesPerToken)});
    }
    return chain;
}

std::uint32_t estimatedTokens(std::string_view prompt)
{
    return static_cast<std::uint32_t>(prompt.size() / BytesPerToken);
}

std::optional<std::uint64_t> parsePrefixName(std::string_view text)
{
    std::uint64_t value = 0;
    const auto end = text.data() + text.size();
    const auto [position, ec] = std::from_chars(text.data(), end, value, 16);
    if (ec != std::errc() || position != end || text.size() != NameDigits) {
        return std::nullopt;
    }
    return value;
}

std::string prefixName(std::uint64_t fingerprint)
{
    std::array<char, NameDigits + 1> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
    return {buf.data(), NameDigits};
}

} // namespace turmericplank::routing
