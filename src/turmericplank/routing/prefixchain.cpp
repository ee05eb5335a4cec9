#include "turmericplank/routing/prefixchain.hpp"

#include "turmericplank/base/digest.hpp"

namespace turmericplank::routing {

PrefixChain prefixChain(const base::ModelName &model, const std::vector<std::string_view> &messages, std::uint32_t charactersPerToken)
{
    PrefixChain chain;
    chain.reserve(messages.size());
    auto fingerprint = base::fingerprint(model.text());
    std::uint32_t tokens = 0;
    for (const auto &it : messages) {
        fingerprint = base::fingerprint(it, fingerprint);
        tokens += static_cast<std::uint32_t>(it.size()) / charactersPerToken + 1;
        chain.push_back({fingerprint, tokens});
    }
    return chain;
}

} // namespace turmericplank::routing
