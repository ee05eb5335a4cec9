#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "turmericplank/accounts/account.hpp"

namespace turmericplank::accounts {

/// @brief Finds the account of a key; immutable.
class AccountTable
{
public:
    /// @brief A table without accounts.
    AccountTable() = default;
    /// @param accounts must outlive the table; if two of them have the same key, the first one gets its calls
    explicit AccountTable(const std::vector<Account> &accounts);

    /// @brief The account that has a key.
    /// @return null if no account has it
    const Account *find(const KeyDigest &key) const;

private:
    struct Entry
    {
        KeyDigest key;
        const Account *account = nullptr;
    };

    std::unordered_multimap<std::uint64_t, Entry> m_entries; ///< by the first bytes of the digest
};

} // namespace turmericplank::accounts
