#pragma once

// The queue of one band: a FIFO per team, served by deficit round robin by weight (Shreedhar and Varghese 1995).
//
// The cost of a request is its expected run time relative to the band's shortest, so that teams share slot time and not counts.
// All operations cost O(1) per team that is passed over.

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

    /** Weights by team number; positive. */
    void setWeights(const std::vector<double> &weights);

    void push(request_index index, std::uint32_t team);
    void remove(request_index index, std::uint32_t team);

    /** The first request in round-robin order that `fits` accepts, or noRequest. It stays in the queue. */
    request_index choose(const std::function<bool(request_index)> &fits);
    /** Removes a request that choose() returned and charges its team. */
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
    /** Expected run time that is served before a new request of the team, given the teams' weights. */
    double workAhead(std::uint32_t team) const;

    static constexpr double maxCost = 8;

private:
    struct team_line
    {
        request_list requests;
        double weight = 1;
        double deficit = 0;
        double work = 0;
        int size = 0;
        bool active = false;
    };

    team_line &line(std::uint32_t team);
    void nextTurn();

    request_table *m_table;
    std::vector<team_line> m_lines;
    /** Teams with queued requests in the order of their turns; `m_turn` is the team whose turn it is. */
    std::vector<std::uint32_t> m_ring;
    std::size_t m_turn = 0;
    double m_minWeight = 1;
    double m_work = 0;
    int m_size = 0;
};

} // namespace daisypass
