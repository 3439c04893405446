/** Running streams and observed output lengths in the load reports, for the forecast of decode memory. */
import {type MemoryForecast} from '@gatehead/policy/relay/memory-forecast';
import {type LoadReportPart} from './load-gossip.js';

/** Maximum streams in a report; the message allows no more. */
const maxStreams = 512;

/** Reports this host's streams, and takes those of other hosts into the forecast. */
export function makeForecastReport(forecast: MemoryForecast): LoadReportPart {
	return {
		collect(service) {
			const streams = forecast.listOwn(service).slice(0, maxStreams);
			return {streams, outputs: forecast.outputsOf(service).takeUnreported()};
		},
		receive(host, service, {streams, outputs}, now) {
			forecast.receive(host, service, streams, now);
			forecast.outputsOf(service).merge(outputs, now);
		},
	};
}
