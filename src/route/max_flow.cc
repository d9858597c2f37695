#include "sycamoreford/route/max_flow.h"

#include <cmath>
#include <map>

#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/push_relabel_max_flow.hpp>

namespace sycamoreford {
namespace {

/// Flow is computed in integer thousandths, so that sums are exact.
constexpr double kFlowScale = 1'000;

using Traits =
    boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
using Graph = boost::adjacency_list<
    boost::vecS,
    boost::vecS,
    boost::directedS,
    boost::no_property,
    boost::property<boost::edge_capacity_t,
                    std::int64_t,
                    boost::property<boost::edge_residual_capacity_t,
                                    std::int64_t,
                                    boost::property<boost::edge_reverse_t,
                                                    Traits::edge_descriptor>>>>;

Traits::edge_descriptor AddArc(Graph& graph,
                               std::size_t from,
                               std::size_t to,
                               std::int64_t capacity) {
  const auto forward = boost::add_edge(from, to, graph).first;
  const auto backward = boost::add_edge(to, from, graph).first;
  boost::put(boost::edge_capacity, graph, forward, capacity);
  boost::put(boost::edge_capacity, graph, backward, std::int64_t{0});
  boost::put(boost::edge_reverse, graph, forward, backward);
  boost::put(boost::edge_reverse, graph, backward, forward);
  return forward;
}

}  // namespace

double SolveMaxFlow(std::vector<FlowArc>& arcs, std::uint32_t layers) {
  if (layers == 0) {
    return 0;
  }
  std::map<std::uint32_t, std::size_t> vertices;
  const auto vertex_of = [&](std::uint32_t layer) {
    return vertices.emplace(layer, vertices.size()).first->second;
  };
  const std::size_t source = vertex_of(0);
  const std::size_t sink = vertex_of(layers);
  for (const FlowArc& arc : arcs) {
    vertex_of(arc.layers.first);
    vertex_of(arc.layers.end);
  }
  Graph graph(vertices.size());
  std::vector<Traits::edge_descriptor> edges;
  edges.reserve(arcs.size());
  for (const FlowArc& arc : arcs) {
    const bool forward = !arc.layers.is_empty();
    edges.push_back(AddArc(
        graph, vertex_of(arc.layers.first), vertex_of(arc.layers.end),
        forward ? std::llround(arc.capacity * kFlowScale) : std::int64_t{0}));
  }
  const std::int64_t value = boost::push_relabel_max_flow(graph, source, sink);
  for (std::size_t i = 0; i < arcs.size(); ++i) {
    const std::int64_t used =
        boost::get(boost::edge_capacity, graph, edges[i]) -
        boost::get(boost::edge_residual_capacity, graph, edges[i]);
    arcs[i].flow = static_cast<double>(used) / kFlowScale;
  }
  return static_cast<double>(value) / kFlowScale;
}

}  // namespace sycamoreford
