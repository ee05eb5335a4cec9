#include "turmericplank/accounts/accounttable.hpp"

#include <cstring>

#include <openssl/crypto.h>

namespace turmericplank::accounts {

namespace {

std::uint64_t firstBytes(const KeyDigest &key)
{
    std::uint64_t value = 0;
    std::memcpy(&value, key.data(), sizeof(value));
    return value;
}

} // namespace

AccountTable::AccountTable(const std::vector<Account> &accounts)
{
    for (const auto &account : accounts) {
        for (const auto &key : account.keys) {
            if (find(key) == nullptr) {
                m_entries.emplace(firstBytes(key), Entry{key, &account});
            }
        }
    }
}

const Account *AccountTable::find(const KeyDigest &key) const
{
    const auto [begin, end] = m_entries.equal_range(firstBytes(key));
    for (auto it = begin; it != end; ++it) {
        // In constant time, so that the time of an answer tells nothing about the digests.
        if (CRYPTO_memcmp(it->second.key.data(), key.data(), key.size()) == 0) {
            return it->second.account;
        }
    }
    return nullptr;
}

} // namespace turmericplank::accounts
