#pragma once

// The queued and running requests of a pool_scheduler, in one array with stable indices.
//
// A record contains the links of the lists that it is in (intrusive lists), so that removal from a list costs O(1) and no allocation.

#include "base/time.h"
#include "kernel/request.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace daisypass {

using request_index = std::uint32_t;
constexpr request_index noRequest = 0xFFFFFFFFU;
using target_index = std::uint32_t;
constexpr target_index noTarget = 0xFFFFFFFFU;

enum class request_phase : std::uint8_t {
    Free,
    /** In a team's queue. */
    Queued,
    /** The last attempt was refused or not sent; the request waits for its retry time or for a free slot on another target. */
    Retrying,
    Running,
};

struct list_links
{
    request_index previous = noRequest;
    request_index next = noRequest;
};

struct request_record
{
    request_number number = 0;
    timestamp deadline{};
    /** While running, the start of the current attempt; while retrying, the earliest time of the next one. */
    timestamp attemptAt{};
    machine_size needs;
    /** Expected run time in seconds when the request arrived. Stored so that the queue subtracts from its sums exactly what it added. */
    float work = 0;
    list_links queueLinks;
    list_links deadlineLinks;
    std::uint32_t deadlineSlot = 0;
    std::uint32_t team = 0;
    std::uint32_t runClass = 0;
    /** The target of the current attempt while running, of the last attempt otherwise. */
    target_index target = noTarget;
    /** Index in the list of running or retrying requests. */
    std::uint32_t position = 0;
    request_phase phase = request_phase::Free;
    std::uint8_t band = 0;
    std::uint8_t attempts = 0;
};

class request_table
{
public:
    /** Adds a request and returns its index, or noRequest if the number is in use. */
    request_index insert(request_number number);
    /** Returns noRequest if there is no such request. */
    request_index find(request_number number) const;
    void erase(request_index index);

    request_record &operator[](request_index index)
    {
        return m_records[index];
    }
    const request_record &operator[](request_index index) const
    {
        return m_records[index];
    }

private:
    std::vector<request_record> m_records;
    std::vector<request_index> m_free;
    std::unordered_map<request_number, request_index> m_byNumber;
};

/** A doubly linked list of records, through the member `links` of each record. */
struct request_list
{
    request_index first = noRequest;
    request_index last = noRequest;

    void pushBack(request_table &table, list_links request_record::*links, request_index index);
    void remove(request_table &table, list_links request_record::*links, request_index index);
};

} // namespace daisypass
