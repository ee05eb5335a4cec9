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

/// @brief Key of the row that holds the document as the teams have edited it.
inline constexpr std::string_view DraftKey = "configuration/draft";
/// @brief Start of the keys of all rows of the configuration.
inline constexpr std::string_view RowPrefix = "configuration/";

/// @brief One team's section as last edited.
struct DraftSection
{
    std::uint64_t revision = 0; ///< counts the edits of this section
    std::string digest; ///< digest of its list of pages
    std::string author;

    friend bool operator==(const DraftSection &, const DraftSection &) = default;
};

/// @brief Trace of a write that took effect, by which a writer without an answer finds out.
struct WriteRecord
{
    std::string token; ///< chosen by the writer, unique
    std::uint64_t sequence = 0; ///< sequence of the draft that the write made
    std::uint64_t revision = 0; ///< revision of the section, or of the accepted configuration

    friend bool operator==(const WriteRecord &, const WriteRecord &) = default;
};

/// @brief The document as edited, accepted or not.
struct Draft
{
    std::uint64_t sequence = 0; ///< counts all writes of the row
    std::map<Section, DraftSection> sections;
    std::vector<WriteRecord> recent; ///< newest last

    /// @brief Revision of a section, zero if nobody wrote it yet.
    std::uint64_t revisionOf(Section section) const;

    /// @brief Digests of all sections.
    SectionDigests digests() const;

    friend bool operator==(const Draft &, const Draft &) = default;
};

/// @brief Whether a write took effect, as far as its record tells.
enum class WriteTrace {
    Effective,
    Absent, ///< it did not take effect so far
    Forgotten, ///< so many writes came after that its record may have been dropped
};

/// @brief Looks for the record of a write.
/// @param draft the draft as read
/// @param token the write's token
/// @param sequence sequence that the write would have made
/// @param record receives the record of an effective write
WriteTrace traceOf(const Draft &draft, std::string_view token, std::uint64_t sequence, WriteRecord &record);

/// @brief Makes the next draft with a record of the write, dropping the oldest records.
/// @param draft the draft as read
/// @param token the write's token
/// @param revision revision that the write makes
Draft nextDraft(const Draft &draft, const std::string &token, std::uint64_t revision);

/// @brief Writes the row's value.
std::string encodeDraft(const Draft &draft);

/// @brief Reads the row's value.
/// @param text the value
/// @return nothing if it is malformed
std::optional<Draft> decodeDraft(std::string_view text);

} // namespace turmericplank::configuration
