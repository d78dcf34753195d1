#include "sched/placement_candidates.h"

#include <doctest/doctest.h>

#include <array>

using namespace daisypass::sched;

namespace {

std::vector<std::int64_t> freeFrom(const placement_candidates &candidates, std::int64_t cpu)
{
    std::vector<std::int64_t> freeCpu;
    for (auto candidate = candidates.firstWith(cpu); candidate != candidates.end(); ++candidate) {
        freeCpu.push_back(candidate->freeCpu);
    }
    return freeCpu;
}

} // namespace

TEST_CASE("a search for an executor starts at the least free capacity that is enough")
{
    std::array<executor_record, 4> executors;
    constexpr std::array<std::int64_t, 4> capacities{8'000, 2'000, 4'000, 2'000};
    placement_candidates candidates;
    for (std::size_t i = 0; i < executors.size(); ++i) {
        executors[i].entry.capacity = {capacities[i], 1'000, 0};
        candidates.add(executors[i]);
    }
    candidates.sort();
    CHECK(freeFrom(candidates, 2'001) == std::vector<std::int64_t>{4'000, 8'000});
    CHECK(candidates.firstWith(2'000)->executor == &executors[1]);
    CHECK(freeFrom(candidates, 8'001).empty());
    SUBCASE("also after tasks were placed and released")
    {
        executors[0].used = {7'500, 10, 0};
        candidates.refresh(executors[0]);
        CHECK(freeFrom(candidates, 0) == std::vector<std::int64_t>{500, 2'000, 2'000, 4'000});
        executors[0].used = {1'000, 10, 0};
        candidates.refresh(executors[0]);
        CHECK(freeFrom(candidates, 0) == std::vector<std::int64_t>{2'000, 2'000, 4'000, 7'000});
        CHECK(candidates.firstWith(5'000)->executor == &executors[0]);
    }
    SUBCASE("an executor that is over its capacity comes first, and counts only for tasks without a demand")
    {
        executors[2].used = {5'000, 10, 0};
        candidates.refresh(executors[2]);
        CHECK(candidates.firstWith(0)->executor == &executors[2]);
        CHECK(candidates.firstWith(1)->executor == &executors[1]);
    }
}
