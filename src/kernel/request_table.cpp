#include "kernel/request_table.h"

namespace daisypass {

request_index request_table::insert(request_number number)
{
    const request_index fresh = m_free.empty() ? static_cast<request_index>(m_records.size()) : m_free.back();
    if (!m_byNumber.try_emplace(number, fresh).second) {
        return noRequest;
    }
    if (m_free.empty()) {
        m_records.emplace_back();
    } else {
        m_free.pop_back();
        m_records[fresh] = {};
    }
    m_records[fresh].number = number;
    return fresh;
}

request_index request_table::find(request_number number) const
{
    const auto found = m_byNumber.find(number);
    return found == m_byNumber.end() ? noRequest : found->second;
}

void request_table::erase(request_index index)
{
    m_byNumber.erase(m_records[index].number);
    m_records[index].phase = request_phase::Free;
    m_free.push_back(index);
}

void request_list::pushBack(request_table &table, list_links request_record::*links, request_index index)
{
    (table[index].*links) = {last, noRequest};
    (last == noRequest ? first : (table[last].*links).next) = index;
    last = index;
}

void request_list::remove(request_table &table, list_links request_record::*links, request_index index)
{
    const list_links removed = table[index].*links;
    (removed.previous == noRequest ? first : (table[removed.previous].*links).next) = removed.next;
    (removed.next == noRequest ? last : (table[removed.next].*links).previous) = removed.previous;
    (table[index].*links) = {};
}

} // namespace daisypass
