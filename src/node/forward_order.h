#pragma once

#include "core/batch/time.h"

#include <map>
#include <string>
#include <vector>

namespace bergamotwick::node {

/// Decides which entries are asked to serve calls that this entry's store doesn't serve. Remembers for some seconds which of them served a call, and which
/// couldn't.
///
/// Thread safety: none.
class ForwardOrder
{
public:
    /// Returns \p entries in the order in which to ask them at \p now: those that lately served a call, those of which nothing is known, and those that
    /// lately couldn't, the one first whose refusal is oldest. Entries of the first two kinds take turns.
    [[nodiscard]] std::vector<std::string> order(std::vector<std::string> entries, Instant now);

    /// Notes that \p entry served a call at \p now.
    void noteServed(const std::string &entry, Instant now);

    /// Notes that \p entry couldn't serve a call, or gave no answer in time, at \p now.
    void noteRefused(const std::string &entry, Instant now);

private:
    /// The last reply of an entry.
    struct Reply
    {
        bool served_ = false;
        Instant at_{};
    };

    std::map<std::string, Reply> replies_; ///< of the latest order()'s entries, at most
    std::size_t turn_ = 0;
};

}
