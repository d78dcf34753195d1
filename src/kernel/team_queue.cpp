#include "kernel/team_queue.h"

#include <algorithm>

namespace daisypass {

void team_queue::setWeights(const std::vector<double> &weights)
{
    m_minWeight = 1;
    for (std::uint32_t team = 0; team < weights.size(); ++team) {
        fifoOf(team).weight = weights[team];
        m_minWeight = std::min(m_minWeight, weights[team]);
    }
}

team_queue::team_fifo &team_queue::fifoOf(std::uint32_t team)
{
    if (team >= m_fifos.size()) {
        m_fifos.resize(team + 1);
    }
    return m_fifos[team];
}

void team_queue::push(request_index index, std::uint32_t team)
{
    team_fifo &fifo = fifoOf(team);
    fifo.requests.pushBack(*m_table, &request_record::queueLinks, index);
    fifo.work += (*m_table)[index].work;
    m_work += (*m_table)[index].work;
    ++fifo.size;
    ++m_size;
    if (!fifo.active) {
        fifo.active = true;
        fifo.deficit = 0;
        // A team that becomes active is served last in the round, so that a team gains no advantage by emptying and refilling its queue.
        m_activeTeams.insert(m_activeTeams.begin() + static_cast<std::ptrdiff_t>(m_turn), team);
        m_turn = m_activeTeams.size() == 1 ? 0 : (m_turn + 1) % m_activeTeams.size();
    }
}

void team_queue::remove(request_index index, std::uint32_t team)
{
    team_fifo &fifo = fifoOf(team);
    fifo.requests.remove(*m_table, &request_record::queueLinks, index);
    fifo.work -= (*m_table)[index].work;
    m_work -= (*m_table)[index].work;
    --fifo.size;
    --m_size;
    if (fifo.size == 0) {
        fifo.work = 0;
        fifo.active = false;
        const auto position = std::find(m_activeTeams.begin(), m_activeTeams.end(), team);
        const std::size_t offset = static_cast<std::size_t>(position - m_activeTeams.begin());
        m_activeTeams.erase(position);
        m_turn = offset < m_turn ? m_turn - 1 : m_turn;
        m_turn = m_turn >= m_activeTeams.size() ? 0 : m_turn;
    }
}

void team_queue::advanceTurn()
{
    m_turn = (m_turn + 1) % m_activeTeams.size();
}

request_index team_queue::choose(const std::function<bool(request_index)> &fits)
{
    for (std::size_t passed = 0; passed < m_activeTeams.size(); ++passed) {
        const std::size_t position = (m_turn + passed) % m_activeTeams.size();
        team_fifo &fifo = m_fifos[m_activeTeams[position]];
        if (!fits(fifo.requests.first)) {
            continue;
        }
        // The turn advances only when a request is found. If it advanced on every call, calls without a free slot would determine which team is next.
        m_turn = position;
        if (fifo.deficit <= 0) {
            // The quantum is at least the maximum cost even for the smallest weight, so that each turn serves at least one request.
            fifo.deficit += maxCost * fifo.weight / m_minWeight;
        }
        return fifo.requests.first;
    }
    return noRequest;
}

void team_queue::take(request_index index, std::uint32_t team, double cost)
{
    team_fifo &fifo = fifoOf(team);
    fifo.deficit -= std::clamp(cost, 1.0, maxCost);
    const bool spent = fifo.deficit <= 0;
    const bool turn = m_activeTeams[m_turn] == team;
    remove(index, team);
    if (turn && spent && fifoOf(team).active) {
        advanceTurn();
    }
}

double team_queue::workAhead(std::uint32_t team) const
{
    const double weight = team < m_fifos.size() ? m_fifos[team].weight : 1;
    double ahead = 0;
    for (std::uint32_t other : m_activeTeams) {
        const team_fifo &otherFifo = m_fifos[other];
        const double ownWork = team < m_fifos.size() ? m_fifos[team].work : 0;
        // While the team's queue is served, another team gets at most the ratio of the weights times the sum of that work and one of its own average requests.
        ahead += other == team ? ownWork : std::min(otherFifo.work, (ownWork + otherFifo.work / otherFifo.size) * otherFifo.weight / weight);
    }
    return ahead;
}

} // namespace daisypass
