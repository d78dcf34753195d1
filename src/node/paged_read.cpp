#include "node/paged_read.h"

namespace daisypass {

void readAllPages(store_client &store, const row_range &range, std::chrono::milliseconds timeoutOfPage, page_handler onPage)
{
    store.get(range, timeoutOfPage, [&store, range, timeoutOfPage, onPage = std::move(onPage)](const rows_result &page) {
        const std::optional<row_range> next = page.status == store_status::Ok ? nextPage(range, page) : std::nullopt;
        const bool goOn = onPage(page, !next);
        if (next && goOn) {
            readAllPages(store, *next, timeoutOfPage, onPage);
        }
    });
}

} // namespace daisypass
