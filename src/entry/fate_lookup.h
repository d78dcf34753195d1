#pragma once

// Looks up the outcome of a request that another incarnation accepted.
//
//     fate_lookup lookup(objects, ask);
//     lookup.find({"00c0ffee00c0ffee-17", incarnation, deadline, true}, [](request_outcome outcome) { ... });
//
// The incarnation itself is queried first. If it no longer exists, the outcome is read from the object `fates/<incarnation>`, which an entry writes at a
// graceful shutdown. If there is no such object either, the outcome is Unknown: the request may have run.

#include "entry/request_outcome.h"
#include "entry/task_queue.h"
#include "kernel/fleet_change.h"
#include "net/peer_client.h"
#include "services/object_store.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisypass {

struct fate_query
{
    /** A request id or a ticket. */
    std::string id;
    incarnation_number incarnation = 0;
    /** When to stop retrying; the last known outcome is then reported. */
    timestamp deadline{};
    /** Whether to repeat the query while the request is Pending or Running. */
    bool waitUntilFinal = false;
};

class fate_lookup
{
public:
    using ask_function = std::function<void(incarnation_number, std::string_view id, peer_callback<fate_answer>)>;
    using callback = std::function<void(request_outcome)>;

    fate_lookup(object_store objects, ask_function ask);

    void find(fate_query query, callback done);
    /** Abandons the lookups in progress; their callbacks may never run. */
    void stop();

private:
    void handleAnswer(fate_query query, callback done, std::optional<fate_answer> answer, const failure &reason);
    void readSavedOutcome(fate_query query, callback done);
    void scheduleRetry(fate_query query, callback done, request_outcome lastKnown);

    object_store m_objects;
    ask_function m_ask;
    task_queue m_timers;
    /** Runs reads of the object store on a thread of their own, because they block. */
    task_queue m_reads;
};

request_outcome toOutcome(fate_answer answer);
fate_answer toFateAnswer(request_outcome outcome);

/** Name of the object that holds the outcomes of an incarnation after its graceful shutdown. */
std::string fatesObjectName(incarnation_number incarnation);
/** Encodes outcomes as a CBOR map by request id. Responses are included from the end of `outcomes` up to `maxResponseBytes`; the rest become Expired. */
std::string encodeFates(std::span<const std::pair<std::string, request_outcome>> outcomes, std::size_t maxResponseBytes);
/** The outcome of one request in such an object; nothing if it is absent or the object is corrupt. */
std::optional<request_outcome> decodeFate(std::string_view object, std::string_view id);

} // namespace daisypass
