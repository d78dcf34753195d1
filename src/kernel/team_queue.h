#pragma once

// The queue of one band: a FIFO per team, served by deficit round robin by weight (Shreedhar and Varghese 1995).
//
//     queue.push(index, team);
//     const request_index next = queue.choose(fits);
//     if (next != noRequest) {
//         queue.take(next, team, cost);
//     }
//
// The caller derives the cost of a request from its expected run time, so that teams share slot time and not the number of requests.
// Each operation costs O(1) per team whose turn is skipped.

#include "kernel/request_table.h"

#include <functional>
#include <vector>

namespace daisypass {

class team_queue
{
public:
    explicit team_queue(request_table &table)
        : m_table(&table)
    {
    }

    /** Sets the weights by team number. They must be positive. */
    void setWeights(const std::vector<double> &weights);

    void push(request_index index, std::uint32_t team);
    void remove(request_index index, std::uint32_t team);

    /** Returns the next request in round-robin order that `fits` accepts, or noRequest. The request stays queued. Only the first request of each team is
     * considered. */
    request_index choose(const std::function<bool(request_index)> &fits);
    /** Removes a request that choose() returned, and charges its team the cost, limited to the range from 1 to maxCost. */
    void take(request_index index, std::uint32_t team, double cost);

    int size() const
    {
        return m_size;
    }
    /** Expected run time of all queued requests in seconds. */
    double work() const
    {
        return m_size == 0 ? 0 : m_work;
    }
    /** Expected run time, in seconds, of the queued requests that are served before a new request of the team, given the teams' weights. */
    double workAhead(std::uint32_t team) const;

    static constexpr double maxCost = 8;

private:
    struct team_fifo
    {
        request_list requests;
        double weight = 1;
        double deficit = 0;
        double work = 0;
        int size = 0;
        /** Whether the team is in `m_activeTeams`. */
        bool active = false;
    };

    team_fifo &fifoOf(std::uint32_t team);
    void advanceTurn();

    request_table *m_table;
    std::vector<team_fifo> m_fifos;
    /** Teams with queued requests in the order of their turns; `m_turn` is the position of the team whose turn it is. */
    std::vector<std::uint32_t> m_activeTeams;
    std::size_t m_turn = 0;
    double m_minWeight = 1;
    double m_work = 0;
    int m_size = 0;
};

} // namespace daisypass
