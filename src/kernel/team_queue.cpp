#include "kernel/team_queue.h"

#include <algorithm>

namespace daisypass {

void team_queue::setWeights(const std::vector<double> &weights)
{
    m_minWeight = 1;
    for (std::uint32_t team = 0; team < weights.size(); ++team) {
        line(team).weight = weights[team];
        m_minWeight = std::min(m_minWeight, weights[team]);
    }
}

team_queue::team_line &team_queue::line(std::uint32_t team)
{
    if (team >= m_lines.size()) {
        m_lines.resize(team + 1);
    }
    return m_lines[team];
}

void team_queue::push(request_index index, std::uint32_t team)
{
    team_line &own = line(team);
    own.requests.pushBack(*m_table, &request_record::queueLinks, index);
    own.work += (*m_table)[index].work;
    m_work += (*m_table)[index].work;
    ++own.size;
    ++m_size;
    if (!own.active) {
        own.active = true;
        own.deficit = 0;
        // A team that becomes active waits for a full round, so that emptying and refilling a queue gains nothing.
        m_ring.insert(m_ring.begin() + static_cast<std::ptrdiff_t>(m_turn), team);
        m_turn = m_ring.size() == 1 ? 0 : (m_turn + 1) % m_ring.size();
    }
}

void team_queue::remove(request_index index, std::uint32_t team)
{
    team_line &own = line(team);
    own.requests.remove(*m_table, &request_record::queueLinks, index);
    own.work -= (*m_table)[index].work;
    m_work -= (*m_table)[index].work;
    --own.size;
    --m_size;
    if (own.size == 0) {
        own.work = 0;
        own.active = false;
        const auto position = std::find(m_ring.begin(), m_ring.end(), team);
        const std::size_t offset = static_cast<std::size_t>(position - m_ring.begin());
        m_ring.erase(position);
        m_turn = offset < m_turn ? m_turn - 1 : m_turn;
        m_turn = m_turn >= m_ring.size() ? 0 : m_turn;
    }
}

void team_queue::nextTurn()
{
    m_turn = (m_turn + 1) % m_ring.size();
}

request_index team_queue::choose(const std::function<bool(request_index)> &fits)
{
    for (std::size_t passed = 0; passed < m_ring.size(); ++passed) {
        const std::size_t position = (m_turn + passed) % m_ring.size();
        team_line &own = m_lines[m_ring[position]];
        if (!fits(own.requests.first)) {
            continue;
        }
        // The turn moves only when a request is found. If it moved at each attempt, the attempts without a free slot would decide who is next.
        m_turn = position;
        if (own.deficit <= 0) {
            // The quantum covers the largest cost even for the smallest weight, so each visit serves at least one request.
            own.deficit += MaxCost * own.weight / m_minWeight;
        }
        return own.requests.first;
    }
    return NoRequest;
}

void team_queue::take(request_index index, std::uint32_t team, double cost)
{
    team_line &own = line(team);
    own.deficit -= std::clamp(cost, 1.0, MaxCost);
    const bool spent = own.deficit <= 0;
    const bool turn = m_ring[m_turn] == team;
    remove(index, team);
    if (turn && spent && line(team).active) {
        nextTurn();
    }
}

double team_queue::workAhead(std::uint32_t team) const
{
    const double weight = team < m_lines.size() ? m_lines[team].weight : 1;
    double ahead = 0;
    for (std::uint32_t other : m_ring) {
        const team_line &queue = m_lines[other];
        const double own = team < m_lines.size() ? m_lines[team].work : 0;
        // While the team's own queue is served, another team gets at most its weight's multiple of that.
        ahead += other == team ? own : std::min(queue.work, (own + queue.work / queue.size) * queue.weight / weight);
    }
    return ahead;
}

} // namespace daisypass
