#include "node/dispatcher_owner.h"

#include "base/clock.h"

#include <algorithm>
#include <utility>

namespace daisypass {
namespace {

// A small holder keeps the lease for this long before it gives it back to a larger machine that has come.
constexpr sched::time_ms smallHolderKeepsMs = 3'000;

} // namespace

dispatcher_owner::dispatcher_owner(std::function<std::shared_ptr<dispatcher>(const held_term &)> make)
    : m_make(std::move(make))
{
}

std::shared_ptr<dispatcher> dispatcher_owner::current() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_current;
}

void dispatcher_owner::begin(const held_term &term)
{
    std::shared_ptr<dispatcher> next;
    std::shared_ptr<const sched::configuration_view> view;
    std::map<std::int64_t, sched::wave_request> waves;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (m_current) {
            m_current->stop();
        }
        next = m_make(term);
        m_current = next;
        m_began = steadyMillis();
        view = m_view;
        waves = m_waves;
    }
    if (view) {
        next->configure(*view);
    }
    for (const std::pair<const std::int64_t, sched::wave_request> &wave : waves) {
        next->addWave(wave.second);
    }
    next->start();
}

std::shared_ptr<dispatcher> dispatcher_owner::take()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return std::exchange(m_current, nullptr);
}

std::shared_ptr<dispatcher> dispatcher_owner::takeForLarger(std::int64_t newestLarger)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    const bool newer = newestLarger > std::exchange(m_largerSeen, std::max(m_largerSeen, newestLarger));
    if (!m_current || !newer || steadyMillis() - m_began < smallHolderKeepsMs) {
        return nullptr;
    }
    return std::exchange(m_current, nullptr);
}

std::optional<adopted_configuration> dispatcher_owner::adopt(sched::configuration_view read)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    if (m_view && read.version <= m_view->version) {
        return std::nullopt;
    }
    m_view = std::make_shared<const sched::configuration_view>(std::move(read));
    return adopted_configuration{m_view, m_current};
}

std::shared_ptr<dispatcher> dispatcher_owner::keepWave(const sched::wave_request &wave)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_waves[wave.wave] = wave;
    return m_current;
}

} // namespace daisypass
