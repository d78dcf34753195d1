#include "node/dispatcher_owner.h"

#include "base/clock.h"

#include <utility>

namespace daisypass {

dispatcher_owner::dispatcher_owner(std::function<std::shared_ptr<dispatcher>(const held_term &)> createDispatcher)
    : m_createDispatcher(std::move(createDispatcher))
{
}

std::shared_ptr<dispatcher> dispatcher_owner::current() const
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_current;
}

void dispatcher_owner::startTerm(const held_term &term)
{
    std::shared_ptr<dispatcher> next;
    std::shared_ptr<const sched::configuration_view> view;
    std::map<std::int64_t, sched::wave_request> waves;
    {
        const std::lock_guard<std::mutex> guard(m_lock);
        if (m_current) {
            m_current->stop();
        }
        next = m_createDispatcher(term);
        m_current = next;
        m_yieldRule.termStarted(steadyMillis());
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

std::shared_ptr<dispatcher> dispatcher_owner::detach()
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return std::exchange(m_current, nullptr);
}

std::shared_ptr<dispatcher> dispatcher_owner::detachForLargerNode(std::int64_t newestLargerEntry)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    return m_yieldRule.mustYield(m_current != nullptr, newestLargerEntry, steadyMillis()) ? std::exchange(m_current, nullptr) : nullptr;
}

std::optional<configuration_update> dispatcher_owner::updateConfiguration(sched::configuration_view read)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    if (m_view && read.version <= m_view->version) {
        return std::nullopt;
    }
    m_view = std::make_shared<const sched::configuration_view>(std::move(read));
    return configuration_update{m_view, m_current};
}

std::shared_ptr<dispatcher> dispatcher_owner::recordWave(const sched::wave_request &wave)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    m_waves[wave.wave] = wave;
    return m_current;
}

} // namespace daisypass
