/** Measures the peak memory of a gateway that meets a crowd of callers which stop short of their end, by form of what they send. */
import process from 'node:process';
import * as cac from 'cac';
import * as crowds from '../../test/support/crowd.ts';
import * as gatewayProcess from '../../test/support/gateway-process.ts';
import * as gateways from '../../test/support/gateways.ts';

const command = cac.cac('bench-crowds');
command
	.option('--connections <integer>', 'Number of connections', {default: 1000})
	.option('--memory <megabytes>', 'Memory of the machine', {default: 202})
	.option('--form <name>', 'Only this form, e.g. "complete bodies"')
	.option('--descriptors <integer>', 'Descriptors of the process', {default: 4100})
	.help();
const {options} = command.parse();
/** Options of the deploy file. */
const nodeOptions = ['--max-old-space-size=160', '--max-semi-space-size=8'];
const maximumBodyBytes = 67_108_864;

const forms: ReadonlyArray<{readonly name: string; createText(index: number): string}> = [
	{name: 'large chunks', createText: index => crowds.createChunkedHead(index) + crowds.largeChunks(15)},
	{name: 'chunks of one byte', createText: index => crowds.createChunkedHead(index) + crowds.smallChunks(20_000)},
	{name: 'both', createText: index => crowds.createChunkedHead(index) + crowds.largeChunks(8) + crowds.smallChunks(10_000)},
	{name: 'trailers', createText: index => `${crowds.createChunkedHead(index)}1\r\nx\r\n0\r\n${'a: b\r\n'.repeat(2000)}`},
	{name: 'bodies with a length', createText: index => crowds.createHead(index, ['Content-Length: 950000']) + 'x'.repeat(949_999)},
	{name: 'heads', createText: index => crowds.createHead(index, Array.from({length: 2000}, () => 'a: b')).slice(0, -2)},
	{name: 'complete bodies', createText: index => `${crowds.createChunkedHead(index)}${crowds.largeChunks(15)}0\r\n\r\n`},
];

async function measure(createText: (index: number) => string): Promise<string> {
	const {store} = await gatewayProcess.startStandIns();
	const configuration = gateways.createConfiguration(5);
	store.put('keyed.op', 'config', {...configuration, limits: {...configuration.limits, maxBodyBytes: maximumBodyBytes}});
	const gateway = gatewayProcess.start({
		host: gatewayProcess.createHost(), storeAddress: store.address, nodeOptions, limits: {memoryLimitMb: Number(options.memory), maxFds: Number(options.descriptors)},
	});
	await gateways.waitUntil(async () => gatewayProcess.isReady(gateway));
	const crowd = await crowds.gather(gateway.front, Number(options.connections), createText);
	await crowds.waitUntilRead(gateway.front, gateway.hasEnded);
	const {status} = gateway.hasEnded() ? {status: 'none, the process has ended'} : await gateways.send(gateway.front, '/price/1');
	const peak = gateway.hasEnded() ? '-' : Math.round(crowds.readResources(gateway.processId).peakMegabytes);
	crowd.close();
	await gatewayProcess.close();
	return `peak ${peak} MB of ${options.memory}, an ordinary request gets ${status}`;
}

if (options.help !== true) {
	for (const {name, createText} of forms.filter(form => options.form === undefined || form.name === options.form)) {
		process.stdout.write(`${name}: ${await measure(createText)}\n`);
	}

	process.exit(0); // eslint-disable-line unicorn/no-process-exit
}
