#pragma once

// Maps an incarnation to its entry in the fleet state, or tells that the incarnation has ended.
//
//     incarnation_index index;
//     index.update(state);
//     switch (index.find(incarnation, entry)) { ... }
//
// NeverSeen does not mean that an incarnation has ended, because it may have just joined. It has ended only if it is still unknown after the fleet state
// was updated by a read of the store that began after the query.

#include "entry/fleet_follower.h"
#include "net/peer_client.h"

#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string_view>

namespace daisypass {

enum class incarnation_status {
    /** The current fleet state has an entry with this incarnation. */
    Registered,
    /** An earlier fleet state had an entry with this incarnation; the current one does not. */
    Ended,
    NeverSeen,
};

class incarnation_index
{
public:
    void update(std::shared_ptr<const fleet_state> state);

    /** Sets `record` if the incarnation is Registered. */
    incarnation_status find(incarnation_number incarnation, entry_record &record) const;
    std::optional<peer_address> findEntry(std::string_view entry) const;
    std::shared_ptr<const fleet_state> state() const;

private:
    mutable std::mutex m_lock;
    std::shared_ptr<const fleet_state> m_state = std::make_shared<const fleet_state>();
    std::set<incarnation_number> m_everRegistered;
};

} // namespace daisypass
