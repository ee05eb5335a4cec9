#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "turmericplank/base/number.hpp"
#include "turmericplank/configuration/documentobjects.hpp"

namespace turmericplank::configuration {

/// @brief Key of the row that holds the draft, the document as the teams have edited it.
inline constexpr std::string_view DraftKey = "configuration/draft";
/// @brief Prefix of the keys of all configuration rows.
inline constexpr std::string_view RowPrefix = "configuration/";

/// @brief State of one section in the draft.
struct DraftSection
{
    std::uint64_t revision = 0; ///< number of edits of this section
    std::string digest; ///< digest of the section's list of pages
    std::string author; ///< author of the last edit

    friend bool operator==(const DraftSection &, const DraftSection &) = default;
};

/// @brief Record of a write that took effect, so that a writer whose response was lost can find its outcome.
struct WriteRecord
{
    std::string token; ///< unique token chosen by the writer
    std::uint64_t sequence = 0; ///< sequence number of the draft that the write produced
    std::uint64_t revision = 0; ///< resulting revision of the section or of the accepted configuration

    friend bool operator==(const WriteRecord &, const WriteRecord &) = default;
};

/// @brief The document as edited, whether accepted or not.
struct Draft
{
    std::uint64_t sequence = 0; ///< number of writes of the row
    std::map<Section, DraftSection> sections;
    std::vector<WriteRecord> recent; ///< the latest writes, newest last

    /// @brief Returns the revision of a section, zero if it was never written.
    std::uint64_t revisionOf(Section section) const;

    /// @brief Returns the digests of all sections.
    SectionDigests digests() const;

    friend bool operator==(const Draft &, const Draft &) = default;
};

/// @brief Whether a write took effect, as far as the draft's records show.
enum class WriteOutcome {
    Applied,
    NotApplied, ///< not applied so far
    Unknown, ///< so many writes followed that its record may have been dropped
};

/// @brief Determines from the draft's records whether a write was applied.
/// @param draft the draft as read
/// @param token the write's token
/// @param sequence sequence number that the write would have produced
/// @param record receives the record if the write was applied
WriteOutcome findWriteOutcome(const Draft &draft, std::string_view token, std::uint64_t sequence, WriteRecord &record);

/// @brief Returns the next draft with a record of the write added; the oldest record is dropped if there are too many.
/// @param draft the draft as read
/// @param token the write's token
/// @param revision revision that the write produces
Draft nextDraft(const Draft &draft, const std::string &token, std::uint64_t revision);

/// @brief Encodes the row's value.
std::string encodeDraft(const Draft &draft);

/// @brief Decodes the row's value.
/// @return `std::nullopt` if it is malformed
std::optional<Draft> decodeDraft(std::string_view text);

} // namespace turmericplank::configuration
