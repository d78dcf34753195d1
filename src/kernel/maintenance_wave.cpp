#include "kernel/maintenance_wave.h"
#include "base/saturating_cast.h"
#include "kernel/fleet_controller.h"

#include <algorithm>

namespace daisypass {
namespace {

constexpr int minutesPerDay = 1440;
constexpr int daysPerWeek = 7;
// 1970-01-01 was a Thursday; weekday 0 is Sunday.
constexpr int weekdayOfEpoch = 4;
constexpr int leadFactor = 2;

using days = std::chrono::duration<std::int64_t, std::ratio<86'400>>;

bool windowOpensOn(const wave_config &wave, std::int64_t day)
{
    const int weekday = static_cast<int>((day + weekdayOfEpoch) % daysPerWeek);
    return wave.weekdays.empty() || std::find(wave.weekdays.begin(), wave.weekdays.end(), weekday) != wave.weekdays.end();
}

} // namespace

double windowShare(const wave_config &wave)
{
    const double weekdays = wave.weekdays.empty() ? daysPerWeek : static_cast<double>(wave.weekdays.size());
    return weekdays / daysPerWeek * wave.windowLengthMinutes / minutesPerDay;
}

duration maintenanceTime(const wave_config &wave, int vms, int concurrent)
{
    const int rounds = (vms + concurrent - 1) / std::max(1, concurrent);
    const double minutes = rounds * minutesPerVm / windowShare(wave);
    return duration(saturatingCast<std::int64_t>(minutes * 60e6));
}

duration leadTime(const wave_config &wave, int vms)
{
    const duration period = days(wave.periodDays);
    return std::min<duration>(period / 2, std::max<duration>(days(1), leadFactor * maintenanceTime(wave, vms, wave.parallel)));
}

bool windowOpen(const wave_config &wave, timestamp now)
{
    const std::int64_t minute = std::chrono::floor<std::chrono::minutes>(now).count();
    const std::int64_t today = minute / minutesPerDay;
    const bool alwaysOpen = wave.weekdays.empty() && wave.windowLengthMinutes == minutesPerDay;
    // A window that opened yesterday can extend past midnight.
    for (std::int64_t day = today - 1; day <= today; ++day) {
        const std::int64_t minutesOpen = minute - (day * minutesPerDay + wave.windowStartMinute);
        if (windowOpensOn(wave, day) && minutesOpen >= 0 && minutesOpen + minutesPerVm <= wave.windowLengthMinutes) {
            return true;
        }
    }
    return alwaysOpen;
}

std::vector<wave_forecast> forecastWaves(const fleet_state &state, timestamp now)
{
    std::map<std::string_view, std::vector<timestamp>> maintained;
    for (const std::pair<const std::string, vm_record> &vm : state.vms()) {
        if (vm.second.state != vm_state::Failed && vm.second.detail != joinDetail) {
            maintained[vm.second.pool].push_back(vm.second.maintainedAt);
        }
    }
    std::vector<wave_forecast> forecasts;
    for (const std::pair<const std::string, wave_config> &item : state.config().waves) {
        const wave_config &wave = item.second;
        const duration period = days(wave.periodDays);
        wave_forecast forecast{wave.name, 0, 0, 0, 0, now};
        for (const std::string &pool : wave.pools) {
            std::vector<timestamp> &times = maintained[pool];
            std::sort(times.begin(), times.end());
            const int count = static_cast<int>(times.size());
            const duration lead = leadTime(wave, count);
            for (int index = 0; index < count; ++index) {
                const timestamp deadline = times[static_cast<std::size_t>(index)] + period;
                const timestamp done = std::max(now, deadline - lead) + maintenanceTime(wave, index + 1, wave.parallel);
                ++forecast.vms;
                forecast.due += now >= deadline - lead ? 1 : 0;
                forecast.overdue += now > deadline ? 1 : 0;
                forecast.predictedOverdue += done > deadline ? 1 : 0;
                if (now >= deadline - lead) {
                    forecast.finishesAt = std::max(forecast.finishesAt, done);
                }
            }
        }
        forecasts.push_back(forecast);
    }
    return forecasts;
}

} // namespace daisypass
