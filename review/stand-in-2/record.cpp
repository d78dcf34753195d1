#include "record.h"

#include <chrono>
#include <thread>

namespace review {

millis steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

millis unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void sleepMs(millis duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

event_record::event_record(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
    , m_startedAt(steadyMs())
{
}

event_record::~event_record()
{
    if (m_file != nullptr) {
        std::fclose(m_file);
    }
}

void event_record::add(const std::string &text)
{
    const std::lock_guard<std::mutex> guard(m_lock);
    if (m_file != nullptr) {
        std::fprintf(m_file, "%8lld ms  %s\n", static_cast<long long>(steadyMs() - m_startedAt), text.c_str());
        std::fflush(m_file);
    }
}

} // namespace review
