#pragma once

// Finds out what became of a request that another incarnation accepted.
//
//     fate_lookup lookup(self, objects, ask);
//     lookup.find({"00c0ffee00c0ffee-17", deadline, true}, [](request_outcome outcome) { ... });
//
// The incarnation itself is asked first. If it is gone, its outcomes are read from the object `fates/<incarnation>`, which an entry writes when it
// stops gracefully. A request of an incarnation that is gone and left nothing is Unknown: it may have run.

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
    /** When to stop asking; the outcome is then the last one known. */
    timestamp deadline{};
    /** Whether to ask again while the request waits or runs. */
    bool waitUntilFinal = false;
};

class fate_lookup
{
public:
    using ask_function = std::function<void(incarnation_number, std::string_view id, peer_callback<fate_answer>)>;
    using callback = std::function<void(request_outcome)>;

    fate_lookup(object_store objects, ask_function ask);

    void find(fate_query query, callback done);
    /** Drops what is still asked for. */
    void stop();

private:
    void handleAnswer(fate_query query, callback done, std::optional<fate_answer> answer, const failure &reason);
    void readSavedOutcome(fate_query query, callback done);
    void scheduleRetry(fate_query query, callback done, request_outcome lastKnown);

    object_store m_objects;
    ask_function m_ask;
    task_queue m_timers;
    /** Store reads block, so they have a thread of their own. */
    task_queue m_reads;
};

request_outcome toOutcome(fate_answer answer);
fate_answer toFateAnswer(request_outcome outcome);

/** Name of the object with the outcomes of an incarnation that stopped gracefully. */
std::string fatesObjectName(incarnation_number incarnation);
/** CBOR of all outcomes by request id; the newest answers are kept up to `maxAnswerBytes`, the others read Expired. */
std::string encodeFates(std::span<const std::pair<std::string, request_outcome>> outcomes, std::size_t maxAnswerBytes);
std::optional<request_outcome> decodeFate(std::string_view object, std::string_view id);

} // namespace daisypass
